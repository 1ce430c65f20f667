title = "hosts stop for a fraction of a second again and again"
group = "processors"
name = "collections"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "collections", at = s(8), lasts = s(25), exchanges = lots("where", draw("many", 1, 4), 5), factor = draw("pause_ms", 100, 900), gap = s(draw("gap", 1, 4))),
]
expect = [
    expect(what = "of_bound", least = 0.75),
]
