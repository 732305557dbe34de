Feature: backlog

  Scenario: every queued request leaves once
    Then generated arrivals, picks and removals lose and repeat nothing

  Scenario: urgent requests go first and batch requests are not starved
    Given a backlog with 70 urgent and 10 batch requests
    Then every 8th of 64 picks is a batch request and the others are urgent

  Scenario: one caller cannot shut out others
    Given a backlog whose bound of 20 is filled by the caller "rabat"
    When the caller "souissi" offers 5 requests
    Then they are queued and the last 5 of "rabat" are given up
    And "souissi" has 5 of the first 10 picks

  Scenario: a request that cannot be served in time is shed at once
    Given a backlog with 40 urgent and 0 batch requests
    Then with 4 at once in 100 ms a request of another caller may wait 300 ms
    And one of the same caller is shed when it may wait 1000 ms

  Scenario Outline: goodput under overload in simulated time
    Given 8 slots that serve a request in 50 ms on average
    When requests with a deadline of 1000 ms arrive at <load> times capacity for 60 s
    Then at least <share> percent of capacity is answered in time
    And a first-in first-out queue without bounds answers <plain> percent or less

    Examples:
      | load | share | plain |
      | 1.0  | 90    | 100   |
      | 1.5  | 95    | 15    |
      | 3.0  | 95    | 5     |
