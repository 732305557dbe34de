Feature: backlog

  Scenario: each queued request is removed exactly once
    Then generated arrivals, picks and removals neither lose nor duplicate a request

  Scenario: urgent requests go first and batch requests are not starved
    Given a backlog with 70 urgent and 10 batch requests
    Then every 8th of 64 picks is a batch request and the others are urgent

  Scenario: one caller cannot starve others
    Given a backlog with a bound of 20 that the caller "rabat" has filled
    When the caller "souissi" offers 5 requests
    Then they are queued and the last 5 of "rabat" are evicted
    And "souissi" has 5 of the first 10 picks

  Scenario: a request that cannot be served in time is refused at once
    Given a backlog with 40 urgent and 0 batch requests
    Then at 4 parallel requests of 100 ms one of another caller due in 300 ms is queued
    And one of the same caller due in 1000 ms is refused

  Scenario Outline: goodput under overload in simulated time
    Given 8 slots that serve a request in 50 ms on average
    When requests with a deadline of 1000 ms arrive at <load> times capacity for 60 s
    Then requests worth at least <goodput> percent of capacity are answered in time
    And an unbounded FIFO queue answers at most <fifo> percent in time

    Examples:
      | load | goodput | fifo |
      | 1.0  | 90      | 100  |
      | 1.5  | 95      | 15   |
      | 3.0  | 95      | 5    |
