title = "a third of all processors run slow and stay jammed (L277088)"
group = "incidents"
name = "slow-fleet"
servers = 0
length = s(55)
classes = usual_classes()
rules = usual_rules()
fleet = fleet(count = 8, capacity = 80.0, own_work = True, circuits = 18)
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20])
troubles = [
    trouble(kind = "slow", at = s(10), lasts = s(25), part = 0.38, factor = draw("factor", 3.0, 5.0)),
]
expect = [
    expect(what = "of_bound", least = 0.4),
]
