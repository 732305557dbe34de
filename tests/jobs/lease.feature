Feature: time at which an executor's lease has certainly lapsed

  Scenario: a lease counts as lapsed only after its deadline on the slowest clock
    Given a lease of 4000 ms on a clock that is 2 percent slow
    When a deadline is granted
    Then the lease does not count as lapsed while the executor may still run tasks
    And it counts as lapsed soon after

  Scenario: a deadline is never further ahead than the lease's length
    Given a lease of 4000 ms on a clock that is 2 percent slow
    When the executor's clock was last received 3 s ago
    Then a deadline granted now is at most 4000 ms ahead of the executor's clock

