title = "where calls go is another thing every few seconds"
group = "traffic"
name = "shifting"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "shift", at = s(5), lasts = s(40), gap = s(draw("gap", 5, 12)), factor = draw("uneven", 0.4, 0.9)),
]
expect = [
    expect(what = "of_bound", least = 0.75),
]
