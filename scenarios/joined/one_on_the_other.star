title = "the same exchange is slow twice over, cut off, and restarts meanwhile"
group = "joined"
name = "one-on-the-other"
length = s(60)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "slow", at = s(6), lasts = s(20), exchanges = [1, 2], factor = 3.0),
    trouble(kind = "slow", at = s(12), lasts = s(8), exchanges = [1], factor = 4.0),
    trouble(kind = "district_cut", at = s(14), lasts = s(6), exchanges = [1]),
    trouble(kind = "restart", at = s(16), lasts = s(2), exchanges = [1, 2]),
    trouble(kind = "circuits_lost", at = s(10), lasts = s(20), exchanges = [1, 3], share = 0.5),
]
expect = [
    expect(what = "of_bound", least = 0.55),
]
