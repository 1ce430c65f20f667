title = "a district cannot be reached"
group = "links"
name = "district-cut"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "district_cut", at = s(10), lasts = s(draw("lasts", 4, 15)), district = 1),
]
expect = [
    expect(what = "of_bound", least = 0.7),
    expect(what = "recovery_s", most = 25),
]
