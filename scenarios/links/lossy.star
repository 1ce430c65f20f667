title = "links lose segments, which come late"
group = "links"
name = "lossy"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "lossy", at = s(8), lasts = s(25), exchanges = lots("where", draw("many", 1, 3), 5), share = draw("share", 0.02, 0.3)),
]
expect = [
    expect(what = "of_bound", least = 0.65),
]
