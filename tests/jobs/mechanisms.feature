Feature: mechanisms of scheduling can be switched off by name

  Scenario: an unknown mechanism is refused with the list of those that exist
    When cardamom-jobs is started with --disable nonsense
    Then it exits with 2 and names nonsense, packing and admission

  Scenario: the mechanisms are listed with what they do
    When cardamom-jobs is started with --list-mechanisms
    Then it exits with 0 and names look-ahead, upkeep-pacing and copies

  Scenario Outline: jobs are completed without a mechanism
    Given a scheduler without <mechanism> and with 2 executors
    When 4 jobs of 3 tasks are submitted and their tasks end
    Then all jobs are completed

    Examples:
      | mechanism         |
      | copies            |
      | growth            |
      | learned-durations |
      | look-ahead        |
      | open-work         |
      | packing           |
      | probes            |
      | speeds            |

  Scenario Outline: without a mechanism of the pools, a queue that rises is served
    Given an estate of 40 VMs with queues a and b without <mechanism>
    When queue a rises to 20 jobs a second from second 4 to 12, and 14 s are simulated
    Then at least 70% of its jobs are in time

    Examples:
      | mechanism   |
      | growth      |
      | open-work   |
      | fair-shares |
      | closing     |
      | reuse       |

  Scenario: a job is accepted without admission although it would be refused with it
    Then a job that waits 60 s is refused with admission and accepted without
