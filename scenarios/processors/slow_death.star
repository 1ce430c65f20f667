title = "one gets slower and slower, still answers some calls, then dies"
group = "processors"
name = "slow-death"
length = s(50)
classes = usual_classes()
rules = usual_rules()
fleet = fleet(answers_first = pick("answers first", [True, False]), releases_wait = pick("releases wait", [True, False]), drops_cancelled = pick("drops cancelled", [True, False]))
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "ageing", at = s(8), lasts = s(draw("lasts", 10, 20)), exchanges = lots("where", 1, 5), factor = draw("factor", 16.0, 128.0), gap = s(3)),
]
expect = [
    expect(what = "of_bound", least = 0.75),
]
