title = "processors of some exchanges are slow"
group = "processors"
name = "slow"
length = s(50)
classes = usual_classes()
rules = usual_rules()
fleet = fleet(answers_first = pick("answers first", [True, False]), releases_wait = pick("releases wait", [True, False]), drops_cancelled = pick("drops cancelled", [True, False]))
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "slow", at = s(8), lasts = s(draw("lasts", 10, 30)), exchanges = lots("where", draw("many", 1, 2), 5), factor = draw("factor", 2.0, 10.0)),
]
expect = [
    expect(what = "of_bound", least = 0.75),
    expect(what = "recovery_s", most = 20),
]
