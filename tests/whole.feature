Feature: the whole system under load, with a wave and failures

  Scenario Outline: requests stay correct and the wave completes when <failure>
    Given the whole system serves two pools on three entries
    When <failure> while a wave runs under load
    Then no request was cut off, run twice, answered wrongly or falsely reported as not run
    And at most <lost> callers lost their connection
    And at least <answered> percent of the requests were answered
    And the wave completes with each VM rebooted

    Examples:
      | failure                                             | lost | answered |
      | nothing fails                                       | 0    | 95       |
      | an entry is killed and replaced                     | 5    | 60       |
      | an entry is suspended for longer than its lease     | 0    | 55       |
      | the log is down for longer than a lease             | 0    | 40       |
      | a control is killed and another one is suspended    | 0    | 95       |
      | append answers are lost and the VM list lags more   | 0    | 80       |
      | a rack fails and recovers                           | 0    | 50       |
      | an entry is replaced while the log is down          | 5    | 30       |
      | a rack fails while an entry is suspended            | 0    | 40       |
