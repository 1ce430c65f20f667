title = "overload first, then a release (i3bae70)"
group = "incidents"
name = "release-under-load"
servers = 0
length = s(60)
classes = usual_classes()
rules = usual_rules()
fleet = fleet(count = 6, capacity = 80.0, own_work = True, circuits = 18)
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20])
troubles = [
    trouble(kind = "burst", at = s(8), lasts = s(35), factor = draw("factor", 1.3, 1.7), rise = s(4)),
    trouble(kind = "deploy", at = s(16), lasts = s(2), exchanges = [1, 3, 5], gap = s(1)),
]
expect = [
    expect(what = "of_bound", least = 0.4),
]
