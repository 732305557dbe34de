Feature: wave run

  Scenario: two controls run a wave at the same time
    Given a platform with endpoints and 2 controls
    When the bundle with a wave is rolled
    Then the wave completes with each VM rebooted once and the budget kept

  Scenario Outline: the only control is killed and replaced while a VM is <phase>
    Given a platform with endpoints and 1 control
    And the entries withhold "<withheld>"
    When the bundle with a wave is rolled
    And a VM is "<phase>"
    And the control is killed and replaced
    And the entries withhold "nothing"
    Then the wave completes with each VM rebooted once and the budget kept

    Examples:
      | phase     | withheld       |
      | noticed   | BatchAcked     |
      | draining  | DrainConfirmed |
      | rebooting | nothing        |

  Scenario Outline: a control is suspended while a VM is <phase> and resumes later
    Given a platform with endpoints and 2 controls
    And the entries withhold "<withheld>"
    When the bundle with a wave is rolled
    And a VM is "<phase>"
    And the first control is suspended
    And the entries withhold "nothing"
    Then the wave completes with each VM rebooted once and the budget kept
    When the first control resumes
    Then no VM is rebooted again

    Examples:
      | phase     | withheld       |
      | noticed   | BatchAcked     |
      | draining  | DrainConfirmed |
      | rebooting | nothing        |

  Scenario: the log is down during a wave
    Given a platform with endpoints and 2 controls
    When the bundle with a wave is rolled
    And a VM is "rebooting"
    And the log is down for 4 seconds
    Then the wave completes with each VM rebooted once and the budget kept

  Scenario: answers of the log and of the platform are lost
    Given a platform with endpoints and 2 controls
    And the answers to 12 appends and 2 reboots will be lost
    When the bundle with a wave is rolled
    Then the wave completes with each VM rebooted once and the budget kept

  Scenario: reboots wait for the drain timeout if an entry never confirms
    Given a platform with endpoints and 2 controls
    And the entries withhold "DrainConfirmed"
    When the bundle with a wave is rolled
    Then the wave completes with each VM rebooted once and the budget kept
    And no reboot was ordered before the timeout of its drain

  Scenario: a wave waits for an entry that has stopped answering
    Given a platform with endpoints and 2 controls
    When the second entry stops answering for longer than the time limit of a missing one
    And the bundle with a wave is rolled
    Then no drain starts and no entry is recorded as gone until it answers again
    And the wave completes with each VM rebooted once and the budget kept

  Scenario: a wave does not wait for an entry that is recorded as gone
    Given a platform with endpoints and 2 controls
    When the second entry terminates
    And the bundle with a wave is rolled
    Then the wave completes with each VM rebooted once and the budget kept
    And the first drain started after the entry was recorded as gone

  Scenario: a new control starts from a snapshot when the log has dropped records
    Given a platform with endpoints and 1 control
    When the bundle with a wave is rolled
    Then the wave completes with each VM rebooted once and the budget kept
    When a control that writes snapshots has run and the log keeps 2 records
    And a new control starts
    Then the new control is ready with the same fleet state

  Scenario: a control stops on SIGTERM
    Given a platform with endpoints and 1 control
    When the control receives SIGTERM
    Then the control ends with status 0
