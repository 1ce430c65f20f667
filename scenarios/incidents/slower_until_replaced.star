title = "three get slower and slower until they are replaced (i0454ae)"
group = "incidents"
name = "slower-until-replaced"
servers = 0
length = s(55)
classes = usual_classes()
rules = usual_rules()
fleet = fleet(count = 7, capacity = 80.0, own_work = True, circuits = 18)
traffic = traffic(rate = 20.0, shares = [0.71, 0.09, 0.20])
troubles = [
    trouble(kind = "ageing", at = s(2), lasts = s(25), exchanges = [1, 2, 3], factor = draw("factor", 60.0, 120.0), gap = s(2)),
]
expect = [
    expect(what = "of_bound", least = 0.4),
]
