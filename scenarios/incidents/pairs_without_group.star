title = "a quarter of the pairs have no group (i9bac3e)"
group = "incidents"
name = "pairs-without-group"
servers = 0
length = s(50)
classes = usual_classes()
rules = usual_rules()
fleet = fleet(count = 7, capacity = 80.0, own_work = True, circuits = 18, unlinked = [[0, 3], [1, 4], [2, 5], [3, 6], [0, 5]])
traffic = traffic(rate = 13.0, shares = [0.71, 0.09, 0.20])
expect = [
    expect(what = "of_bound", least = 0.5),
]
