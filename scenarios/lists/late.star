title = "the register is late while exchanges are replaced"
group = "lists"
name = "late"
length = s(60)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "register_lag", at = s(4), lasts = s(40), factor = draw("late", 2, 10)),
    trouble(kind = "deploy", at = s(8), lasts = s(3), exchanges = [1, 2, 3], gap = s(1)),
]
expect = [
    expect(what = "of_bound", least = 0.6),
]
