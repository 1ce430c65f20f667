title = "a burst of callers who heed no pause and redial four times"
group = "traffic"
name = "redial-storm"
length = s(50)
classes = usual_classes()
rules = usual_rules()
fleet = fleet(answers_first = pick("answers first", [True, False]), releases_wait = pick("releases wait", [True, False]), drops_cancelled = pick("drops cancelled", [True, False]))
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
callers = callers(redials = 4, heeds = 0.0, waits = (ms(300), ms(900)))
troubles = [
    trouble(kind = "burst", at = s(12), lasts = s(8), factor = draw("factor", 1.6, 2.4)),
]
expect = [
    expect(what = "of_bound", least = 0.7),
    expect(what = "recovery_s", most = 20),
]
