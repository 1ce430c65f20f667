title = "up to 40% of the exchanges of one district restart at once, and all cut calls return"
group = "restarts"
name = "district"
length = s(60)
classes = usual_classes()
rules = usual_rules()
fleet = fleet(count = 16, districts = 3, circuits = 10)
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 2.0, incoming = 2.0)
troubles = [
    trouble(kind = "restart", at = s(12), lasts = s(draw("lasts", 1, 4)), district = 1, part = draw("part", 0.1, 0.4)),
]
expect = [
    expect(what = "of_bound", least = 0.7),
    expect(what = "recovery_s", most = 30),
]
