Feature: the whole system under load, a wave and failures

  Scenario Outline: no promise breaks when <failure>
    Given the whole system serves two pools on three entries
    When <failure> while a wave runs under load
    Then no request was cut, run twice, answered wrongly or told not run when it ran
    And at most <lost> callers lost their connection
    And at least <answered> percent of the requests were answered
    And the wave ends with each VM rebooted

    Examples:
      | failure                                             | lost | answered |
      | nothing fails                                       | 0    | 95       |
      | an entry is killed and replaced                     | 5    | 60       |
      | an entry freezes for longer than its lease          | 0    | 55       |
      | the log is down for longer than a lease             | 0    | 40       |
      | a control is killed and another one freezes         | 0    | 95       |
      | answers of the log are lost and the list lags more  | 0    | 80       |
      | a rack fails and comes back                         | 0    | 50       |
      | the log is down and an entry is replaced meanwhile  | 5    | 30       |
      | a rack fails while an entry freezes                 | 0    | 40       |
