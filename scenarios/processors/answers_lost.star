title = "final answers never come, while probes pass"
group = "processors"
name = "answers-lost"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "answers_lost", at = s(8), lasts = s(20), exchanges = lots("where", draw("many", 1, 2), 5), share = draw("share", 0.2, 0.9)),
]
expect = [
    expect(what = "of_bound", least = 0.7),
    expect(what = "recovery_s", most = 20),
]
