title = "machines are replaced one by one, each cold (i1bb965, i3a12a7)"
group = "incidents"
name = "release-of-machines"
servers = 0
length = s(60)
classes = usual_classes()
rules = usual_rules()
fleet = fleet(count = 6, capacity = 80.0, own_work = True, circuits = 18)
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20])
troubles = [
    trouble(kind = "deploy", at = s(8), lasts = s(draw("drain", 2, 4)), exchanges = [1, 2, 3, 4, 5], gap = s(1)),
]
expect = [
    expect(what = "of_bound", least = 0.45),
]
