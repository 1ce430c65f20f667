title = "a number with few lines is called by many, who redial"
group = "traffic"
name = "hot-number"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
callers = callers(redials = 4, heeds = 0.3)
troubles = [
    trouble(kind = "hot_number", at = s(8), lasts = s(25), exchanges = lots("where", 1, 5), share = draw("share", 0.2, 0.6), factor = float(draw("lines", 4, 12))),
]
expect = [
    expect(what = "service", least = 0.5),
]
