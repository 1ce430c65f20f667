title = "strangers, callers and exchanges lie, while one hangs and circuits are lost"
group = "servers"
name = "strangers"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "strangers", at = s(5), lasts = s(30), factor = draw("attacks", 100, 400)),
    trouble(kind = "hang", at = s(12), lasts = s(5), exchanges = [2]),
    trouble(kind = "circuits_lost", at = s(22), lasts = s(6), exchanges = [1], share = 0.5),
]
expect = [
    expect(what = "of_bound", least = 0.7),
]
