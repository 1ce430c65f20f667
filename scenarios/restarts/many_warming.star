title = "several start at once and warm up together, late"
group = "restarts"
name = "many-warming"
length = s(60)
classes = usual_classes()
rules = usual_rules()
fleet = fleet(warm_up = pick("warm_up", ["linear", "late", "stepped", "by work"]))
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "restart", at = s(12), lasts = s(2), exchanges = lots("where", draw("many", 2, 4), 5)),
]
expect = [
    expect(what = "of_bound", least = 0.65),
]
