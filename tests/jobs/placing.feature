Feature: executors that are equal otherwise are chosen by their room

  Scenario: tasks collect on the busiest VM that has room, so that others get idle
    Given 4 executors of 8 cores with runs of 1, 5, 3 and 7 cores
    When 3 tasks of 1 core are placed
    Then they start on executors 3, 1 and 1

  Scenario: in an overload tasks start on the VM with the most room
    Given 4 executors of 8 cores with runs of 1, 5, 3 and 7 cores
    When 3 tasks of 1 core are placed in an overload
    Then they start on executors 0, 0 and 0
