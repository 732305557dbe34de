Feature: executors that were silent when runs were lost with them

  Scenario Outline: the same incarnation answers again, so that it has not crashed
    Guards against LOST: an executor that was cut off until it was unlisted was never
    asked again, and its silence counted as a crash for ever.
    Given a scheduler and an executor born at <born> that reports run 1 of a task
    When born <born> is silent for 15 s, and is unlisted and forgotten
    Then it is suspected under the task, which counts 0 crashes
    When the executor registers with born <born> and port 1
    Then it is suspected under the task, which counts 0 crashes
    When born <born> reports its runs
    Then it is not suspected under the task, which counts 0 crashes

    Examples:
      | born |
      | 1000 |
      | 0    |

  Scenario: a later incarnation registers, so that the silent one has crashed
    Given a scheduler and an executor born at 1000 that reports run 1 of a task
    When born 1000 is silent for 15 s, and is unlisted and forgotten
    And the executor registers with born 2000 and port 1
    Then it is not suspected under the task, which counts 1 crashes

  Scenario: another id answers at the address of a silent executor, which has crashed
    Given a scheduler and an executor born at 0 that reports run 1 of a task
    When born 0 is silent for 5 s
    Then it is suspected under the task, which counts 0 crashes
    When another id answers at its address for 1 s
    Then it is not suspected under the task, which counts 1 crashes

  Scenario Outline: the VM list shows whether a silent executor is over
    Given a scheduler and an executor born at 0 that reports run 1 of a task
    When born 0 is silent for 15 s, and is unlisted and forgotten
    And the VM list shows its VM as <state> with <id>, <lists> times
    Then it is <whether> suspected under the task, which counts <crashes> crashes

    Examples: a single list may lack a VM
      | state  | id      | lists | whether | crashes |
      | up     | its id  | 3     | still   | 0       |
      | down   | its id  | 2     | not     | 1       |
      | down   | no id   | 2     | not     | 1       |
      | up     | another | 2     | not     | 1       |
      | up     | another | 1     | still   | 0       |

    Examples: VMs of a list without any id show nothing
      | state  | id      | lists | whether | crashes |
      | up     | no id   | 3     | still   | 0       |

  Scenario Outline: an executor whose VM was ordered to move has not crashed
    Given a scheduler and an executor born at 0 that reports run 1 of a task
    When born 0 is silent for 5 s
    And an order for its VM <what> it
    And the VM list shows its VM as up with another, 2 times
    Then it is not suspected under the task, which counts 0 crashes

    Examples:
      | what         |
      | may have ended |
      | ended        |

  Scenario Outline: the next scheduler goes on from what is stored of a silent executor
    Given a scheduler that stored that an executor born at 1000 was silent under a task
    When the executor registers with born <born> and port 1
    And born <born> reports its runs
    Then it is not suspected under the task, which counts <crashes> crashes

    Examples:
      | born | crashes |
      | 1000 | 0       |
      | 2000 | 1       |

  Scenario Outline: a progress record with a malformed suspicion is refused
    Then a progress record with the suspicion <fields> cannot be read

    Examples:
      | fields                     |
      | ["1", "i-0", 0, false]     |
      | [1, 7, 0, false]           |
      | [1, "i-0", 0]              |
      | [1, "i-0", 0, false, 1]    |
      | 4                          |
