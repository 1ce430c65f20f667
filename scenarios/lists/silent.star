title = "the register says nothing while exchanges restart"
group = "lists"
name = "silent"
length = s(60)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "register_silent", at = s(6), lasts = s(draw("lasts", 8, 25))),
    trouble(kind = "restart", at = s(10), lasts = s(2), exchanges = lots("where", 2, 5)),
]
expect = [
    expect(what = "of_bound", least = 0.6),
]
