Feature: wave run

  Scenario: two controls race through a wave
    Given a platform with endpoints and 2 controls
    When the bundle with a wave is rolled
    Then the wave ends with each VM rebooted once and the budget kept

  Scenario Outline: the only control is killed and replaced while a VM is <phase>
    Given a platform with endpoints and 1 control
    And the entries hold back "<held>"
    When the bundle with a wave is rolled
    And a VM is "<phase>"
    And the control is killed and replaced
    And the entries hold back "nothing"
    Then the wave ends with each VM rebooted once and the budget kept

    Examples:
      | phase     | held           |
      | noticed   | BatchAcked     |
      | draining  | DrainConfirmed |
      | rebooting | nothing        |

  Scenario Outline: a control freezes while a VM is <phase> and wakes later
    Given a platform with endpoints and 2 controls
    And the entries hold back "<held>"
    When the bundle with a wave is rolled
    And a VM is "<phase>"
    And the first control freezes
    And the entries hold back "nothing"
    Then the wave ends with each VM rebooted once and the budget kept
    When the first control wakes
    Then nothing more is rebooted

    Examples:
      | phase     | held           |
      | noticed   | BatchAcked     |
      | draining  | DrainConfirmed |
      | rebooting | nothing        |

  Scenario: the log is down in mid-wave
    Given a platform with endpoints and 2 controls
    When the bundle with a wave is rolled
    And a VM is "rebooting"
    And the log is down for 4 seconds
    Then the wave ends with each VM rebooted once and the budget kept

  Scenario: answers of the log and of the platform are lost
    Given a platform with endpoints and 2 controls
    And the answers to 12 appends and 2 reboots will be lost
    When the bundle with a wave is rolled
    Then the wave ends with each VM rebooted once and the budget kept

  Scenario: a drain that an entry never confirms is waited out
    Given a platform with endpoints and 2 controls
    And the entries hold back "DrainConfirmed"
    When the bundle with a wave is rolled
    Then the wave ends with each VM rebooted once and the budget kept
    And no reboot was ordered before the wait-out of its drain had passed

  Scenario: an entry that is frozen holds the wave up
    Given a platform with endpoints and 2 controls
    When the second entry freezes for longer than a missing one is waited for
    And the bundle with a wave is rolled
    Then no drain starts and no entry is gone until it is back
    And the wave ends with each VM rebooted once and the budget kept

  Scenario: an entry that is gone leaves the barrier
    Given a platform with endpoints and 2 controls
    When the second entry dies
    And the bundle with a wave is rolled
    Then the wave ends with each VM rebooted once and the budget kept
    And the first drain started after the entry was recorded as gone

  Scenario: a newcomer starts from a snapshot when records have run out
    Given a platform with endpoints and 1 control
    When the bundle with a wave is rolled
    Then the wave ends with each VM rebooted once and the budget kept
    When a control that writes snapshots has run and the log keeps 2 records
    And a newcomer starts
    Then the newcomer is ready with the same fleet

  Scenario: a control leaves in order
    Given a platform with endpoints and 1 control
    When the control is told to stop
    Then it ends with status 0
