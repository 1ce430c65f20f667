title = "what exchanges say of their load is seconds old"
group = "processors"
name = "report-late"
length = s(50)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = 16.0, shares = [0.71, 0.09, 0.20], transit = 3.0, incoming = 3.0)
troubles = [
    trouble(kind = "report_late", at = s(6), lasts = s(30), exchanges = [1, 2, 3, 4, 5], factor = draw("late", 0.5, 5.0)),
    trouble(kind = "slow", at = s(12), lasts = s(12), exchanges = lots("where", 2, 5), factor = draw("factor", 2.0, 6.0)),
]
expect = [
    expect(what = "of_bound", least = 0.7),
]
