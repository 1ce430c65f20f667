title = "a burst on a slow fleet while a district restarts"
group = "joined"
name = "month-end"
length = s(60)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "slow", at = s(6), lasts = s(30), exchanges = lots("slow where", 2, 5), factor = draw("slow", 2.0, 6.0)),
    trouble(kind = "burst", at = s(10), lasts = s(20), factor = draw("burst", 1.3, 2.0), rise = s(2)),
    trouble(kind = "restart", at = s(18), lasts = s(3), district = 1, part = 0.4),
    trouble(kind = "answers_lost", at = s(22), lasts = s(8), exchanges = lots("lost where", 1, 5), share = draw("lost", 0.1, 0.5)),
]
expect = [
    expect(what = "of_bound", least = 0.55),
]
