Feature: control

  Scenario: all controls agree on their ranks for a shard
    Then generated names get distinct ranks, whose order a new name does not change

  Scenario: no intent is appended again before its append has an outcome
    Then the intents of generated plans are appended once, after the delay by rank

  Scenario: records follow from VM lists that differ from the log
    Then a failure is recorded after two lists show it and a recovery after two more
    And a VM joins only when it is live with the fence of its last reboot order
    And a reboot order without effect is repeated only after ten seconds
    And an entry is recorded as gone if its VM was missing for ten seconds, not if failed

  Scenario: a control calls for a reboot only while its order is valid
    Then a reboot is called once, and not after a newer order or a join
    And a reboot call that did not reach the platform is repeated

  Scenario: a snapshot is due by records, by time and before the log drops the last
    Then the control with rank 0 writes a snapshot and the others wait for it

  Scenario: a replica that missed records continues only from a snapshot
    Then a generated log gives the same state from a snapshot as from its start
    And snapshots that are damaged, incomplete or older than the state are skipped

  Scenario: an append whose answer was lost gets its outcome from the log
    Given a follower of a log in this process
    When the log loses the answer to an append
    Then the outcome of the append is the record read from the log

  Scenario: an append that the log did not receive has an unknown outcome
    Given a follower of a log in this process
    When the log drops an append
    Then the outcome of the append is unknown

  Scenario: an append is unavailable while the log is down
    Given a follower of a log in this process
    When the log is down for an append
    Then the outcome of the append is unavailable

  Scenario: a follower is paused after a suspension until it has read the tail
    Given a follower of a log in this process
    When the process is suspended while the log is down
    Then the follower is paused until the log is back

  Scenario: all example settings load and a bad setting is reported
    Then every example control prints its settings without the key
    And a bad control setting ends with status 2 and an error that names it
