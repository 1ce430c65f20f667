title = "exchanges of call servers are slow themselves"
group = "servers"
name = "own-slow"
servers = 0
length = s(50)
classes = usual_classes()
rules = usual_rules()
fleet = fleet(count = 6, capacity = 80.0, own_work = True, circuits = 18)
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20])
troubles = [
    trouble(kind = "slow", at = s(10), lasts = s(draw("lasts", 8, 20)), exchanges = [0, 3], factor = draw("factor", 2.0, 6.0)),
]
expect = [
    expect(what = "of_bound", least = 0.5),
]
