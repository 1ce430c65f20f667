title = "the way to some is long"
group = "links"
name = "far"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "delay", at = s(8), lasts = s(25), exchanges = lots("where", 2, 5), factor = draw("ms", 50, 400)),
]
expect = [
    expect(what = "of_bound", least = 0.75),
]
