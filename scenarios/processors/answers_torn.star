title = "answers come in two halves and hold up what follows"
group = "processors"
name = "answers-torn"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "answers_torn", at = s(8), lasts = s(20), exchanges = lots("where", 2, 5), share = draw("share", 0.1, 0.6)),
]
expect = [
    expect(what = "of_bound", least = 0.7),
]
