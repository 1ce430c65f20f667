title = "times rise at every exchange in the same second (ie6a5a7)"
group = "incidents"
name = "all-at-once"
servers = 0
length = s(50)
classes = usual_classes()
rules = usual_rules()
fleet = fleet(count = 6, capacity = 80.0, own_work = True, circuits = 18)
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20])
troubles = [
    trouble(kind = "slow", at = s(12), lasts = s(20), part = 1.0, factor = draw("factor", 1.5, 2.5)),
]
expect = [
    expect(what = "of_bound", least = 0.4),
]
