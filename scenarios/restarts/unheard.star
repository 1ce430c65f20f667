title = "some die and come back and the register does not say that they were gone"
group = "restarts"
name = "unheard"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "stale", at = s(10), lasts = s(draw("lasts", 3, 12)), exchanges = lots("where", draw("many", 1, 2), 5)),
]
expect = [
    expect(what = "of_bound", least = 0.7),
]
