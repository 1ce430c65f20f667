title = "one after the other is replaced"
group = "restarts"
name = "deploy"
length = s(60)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "deploy", at = s(6), lasts = s(draw("drain", 2, 5)), exchanges = [1, 2, 3, 4, 5], gap = s(draw("gap", 0.5, 3))),
]
expect = [
    expect(what = "of_bound", least = 0.65),
]
