Feature: conclusions that an executor's agent draws from its reports

  Scenario: an inherited run whose end is not on the first page of ends is not withdrawn
    Given an agent that inherits run 1 of a task
    When the executor reports ends 1 to 500 of other runs, and that there are more
    Then the agent has not given run 1 up
    When ends up to 500 are stored
    Then the next renewal is sent at once and acknowledges end 500
    When the executor reports that end 501 is that of run 1, which is done
    Then run 1 ended as done

  Scenario: an inherited run that is in no page of ends is withdrawn after the last one
    Given an agent that inherits run 1 of a task
    When the executor reports ends 1 to 500 of other runs, and that there are more
    And ends up to 500 are stored
    And the executor reports neither runs nor ends
    Then the agent gave run 1 up as withdrawn

  Scenario: an accepted run whose end is not on the first page of ends is not missing
    Given an agent that has started run 1 of a task
    When the executor reports ends 1 to 500 of other runs, and that there are more
    Then the agent has not given run 1 up
    When ends up to 500 are stored
    And the executor reports that end 501 is that of run 1, which is done
    Then run 1 ended as done

  Scenario: an accepted run that is in no page of ends is missing after the last one
    Given an agent that has started run 1 of a task
    When the executor reports ends 1 to 500 of other runs, and that there are more
    And ends up to 500 are stored
    And the executor reports neither runs nor ends
    Then the agent gave run 1 up as missing

  Scenario: an inherited run that is first reported as running, then not at all, is missing
    Given an agent that inherits run 1 of a task
    When the executor reports that run 1 is running
    And the executor reports neither runs nor ends
    Then the agent gave run 1 up as missing

  Scenario: a run of a replaced agent may still start within a lease
    Given an agent that has started run 1 of a task
    When another agent replaces it
    And the executor reports neither runs nor ends for 4 s
    Then the agent has not given run 1 up
    When the executor reports neither runs nor ends for 1 s
    Then the agent gave run 1 up as missing

  Scenario: an agent repeats the stops of the agent that it replaces
    Given an agent that has started run 1 of a task
    When run 1 is to be stopped
    And another agent replaces it
    Then the executor is told again to stop run 1

  Scenario: a run whose start waits for its record is left alone by a new agent
    Given an agent that has not been told to start run 1 of a task
    When another agent replaces it
    And the executor reports neither runs nor ends for 9 s
    Then the agent has not given run 1 up

  Scenario: a start without an answer is not sent again once its run is to be stopped
    Given an agent whose order to start run 1 of a task got no answer
    When run 1 is to be stopped
    And the executor reports neither runs nor ends for 1 s
    Then the executor was told only once to start run 1
    And the agent gave run 1 up as missing

  Scenario: a start without an answer is not sent again to an executor that has shrunk
    Given an agent whose order to start run 1 of a task got no answer
    When the executor shrinks below what runs on it
    And the executor reports neither runs nor ends for 1 s
    Then the executor was told only once to start run 1
    And the agent gave run 1 up as missing

  Scenario: a start that did not arrive is not sent again to an executor that has shrunk
    Given an agent whose order to start run 1 of a task came too late
    When the executor shrinks below what runs on it
    And the executor reports neither runs nor ends for 1 s
    Then the executor was told only once to start run 1
    And the agent gave run 1 up as withdrawn

  Scenario: a start that reaches only the next incarnation is not lost with the executor
    Given an agent whose order to start run 1 of a task reached another incarnation
    Then run 1 was not lost with the executor

  Scenario: a start that waits for its record is not lost with the executor
    Given an agent that has not been told to start run 1 of a task
    When the agent asks for a report
    And another incarnation answers at the address of the executor
    Then run 1 was not lost with the executor

  Scenario: an accepted run is lost with the executor
    Given an agent that has started run 1 of a task
    When another incarnation answers at the address of the executor
    Then run 1 was lost with the executor

  Scenario: a run whose start got no answer is lost with the executor
    Given an agent whose order to start run 1 of a task got no answer
    When another incarnation answers at the address of the executor
    Then run 1 was lost with the executor

  Scenario: an accepted run is lost when the lease of its silent executor lapses
    Given an agent that has started run 1 of a task
    When the executor is silent until its lease has lapsed
    Then run 1 was lost with the executor

  Scenario: an inherited run is lost with the executor
    Given an agent that inherits run 1 of a task
    When another incarnation answers at the address of the executor
    Then run 1 was lost with the executor
