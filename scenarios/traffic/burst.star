title = "calls come up to twice as often for a while"
group = "traffic"
name = "burst"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "burst", at = s(12), lasts = s(draw("lasts", 6, 14)), factor = draw("factor", 1.4, 2.2), rise = s(draw("rise", 0, 2))),
]
expect = [
    expect(what = "of_bound", least = 0.75),
    expect(what = "recovery_s", most = 20),
]
