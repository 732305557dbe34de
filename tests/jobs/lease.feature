Feature: when an executor surely runs nothing any more

  Scenario: a lease lapses only after the longest deadline on the slowest clock
    Given a lease of 4000 ms on a clock that is 2 percent slow
    When a deadline is granted
    Then the lease has not surely lapsed while the executor may still run
    And it has surely lapsed soon after

  Scenario: a deadline is never further ahead than the lease
    Given a lease of 4000 ms on a clock that is 2 percent slow
    When the executor's clock was heard 3 s ago
    Then a deadline granted now is at most 4000 ms ahead there

