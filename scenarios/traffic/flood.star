title = "everybody calls one exchange"
group = "traffic"
name = "flood"
length = s(50)
classes = usual_classes()
rules = usual_rules()
fleet = fleet(answers_first = pick("answers first", [True, False]), releases_wait = pick("releases wait", [True, False]), drops_cancelled = pick("drops cancelled", [True, False]))
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "flood", at = s(10), lasts = s(15), exchanges = lots("where", 1, 5), factor = draw("factor", 2.0, 6.0)),
]
expect = [
    expect(what = "of_bound", least = 0.75),
    expect(what = "recovery_s", most = 20),
]
