Feature: the attempts of a gang

  A gang of 4 tasks on 3 executors with 2 cores each; each of its tasks may fail 3 times.

  Scenario Outline: a run of a gang that fails is one attempt
    Guards against LOST: each member that failed counted as an attempt, so that a job was
    failed after a single run of its gang.
    Given a gang whose run has begun
    When 3 of its members fail, <how>
    Then one attempt is counted, and the gang starts again

    Examples:
      | how                                 |
      | one after the other                 |
      | after the other one ended broken    |
      | with a change of scheduler between  |
      | each with a change of scheduler     |
      | after their runs were marked lapsed |
      | each reported twice                 |

  Scenario: each run of a gang that fails is an attempt
    Given a gang whose run has begun
    When its runs fail 2 times, each with 1 to 4 of its members
    Then 2 attempts are counted, and the gang starts again
    When its runs fail 1 times, each with 1 to 4 of its members
    Then the gang's job is failed

  Scenario: a run that ended broken or was withdrawn is no attempt
    Given a gang whose run has begun
    When 3 of its members fail, one after the other
    And its next run ends broken
    And its next run is withdrawn
    Then one attempt is counted, and the gang starts again

  Scenario: the failures of tasks that form no gang are counted one by one
    Given 4 tasks that form no gang, and run
    When 3 of them fail, one after the other
    Then each of the 3 has used one attempt, and the other one none
