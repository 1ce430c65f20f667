title = "call servers restart two at a time, then machines are replaced (iecc363)"
group = "incidents"
name = "rolling-restart"
servers = 0
length = s(55)
classes = usual_classes()
rules = usual_rules()
fleet = fleet(count = 6, capacity = 80.0, own_work = True, circuits = 18)
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20])
troubles = [
    trouble(kind = "restart", at = s(2), lasts = s(1), exchanges = [0, 1]),
    trouble(kind = "restart", at = s(6), lasts = s(1), exchanges = [2, 3]),
    trouble(kind = "restart", at = s(10), lasts = s(1), exchanges = [4, 5]),
    trouble(kind = "restart", at = s(22), lasts = s(2), exchanges = [1, 4]),
]
expect = [
    expect(what = "of_bound", least = 0.35),
]
