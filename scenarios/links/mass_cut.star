title = "a share of the standing calls is cut, and all come again"
group = "links"
name = "mass-cut"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "mass_cut", at = s(12), share = draw("share", 0.2, 0.9)),
    trouble(kind = "mass_cut", at = s(30), share = draw("again", 0.1, 0.6)),
]
expect = [
    expect(what = "of_bound", least = 0.7),
]
