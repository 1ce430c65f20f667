title = "all districts lose calls twice, and all come again (ia336ad)"
group = "incidents"
name = "two-mass-cuts"
servers = 0
length = s(50)
classes = usual_classes()
rules = usual_rules()
fleet = fleet(count = 6, capacity = 80.0, own_work = True, circuits = 18)
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20])
troubles = [
    trouble(kind = "mass_cut", at = s(5), exchanges = [0, 1, 2, 3, 4, 5], share = draw("first", 0.2, 0.4)),
    trouble(kind = "mass_cut", at = s(20), exchanges = [0, 1, 2, 3, 4, 5], share = draw("second", 0.4, 0.7)),
]
expect = [
    expect(what = "of_bound", least = 0.45),
]
