Feature: no sequence of events brings a customer over its limit

  Guards against charges and releases that get out of step: jobs, ends, lost and repeated
  reports, refused starts, lapsed leases, cancellations, new limits and changes of the
  scheduler in any order, with executors that register late.

  Scenario: random sequences of events
    Given schedulers, executors and callers whose actions are generated
    When 200 sequences of them are tried
    Then no customer exceeds its limit, and usage is the sum of allocations at every step

  Scenario Outline: the search finds a safeguard that is missing
    Given the fault that <fault>
    When 200 sequences of them are tried
    Then the search finds it

    Examples:
      | fault                                           |
      | a run is released when its stop is ordered      |
      | runs of earlier schedulers are not counted      |
      | runs on unregistered executors are not counted  |
      | orphaned runs are never released                |
      | starts are not counted                          |
      | a step is checked once for all its tasks        |
      | a gang is checked as one task                   |
      | services that a limit held back are not planned |
      | the first limits stay in force                  |
