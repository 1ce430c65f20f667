title = "two keep dying while they warm up"
group = "restarts"
name = "again-and-again"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "restart", at = s(8), lasts = s(1), exchanges = [1, 2]),
    trouble(kind = "slow", at = s(8), lasts = s(4), exchanges = [3], factor = 3.0),
    trouble(kind = "restart", at = s(15), lasts = s(1.5), exchanges = [1, 2]),
    trouble(kind = "restart", at = s(22), lasts = s(2), exchanges = [1]),
]
expect = [
    expect(what = "of_bound", least = 0.6),
]
