title = "a mass cut, and times stay up (iec71d0)"
group = "incidents"
name = "cut-and-jammed"
servers = 0
length = s(50)
classes = usual_classes()
rules = usual_rules()
fleet = fleet(count = 6, capacity = 80.0, own_work = True, circuits = 18)
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20])
callers = callers(redials = 3, heeds = 0.3, waits = (ms(200), ms(800)))
troubles = [
    trouble(kind = "slow", at = s(0), lasts = s(50), exchanges = [2], factor = 1.6),
    trouble(kind = "mass_cut", at = s(20), exchanges = [0, 1, 2, 3, 4, 5], share = draw("share", 0.4, 0.7)),
]
expect = [
    expect(what = "of_bound", least = 0.45),
]
