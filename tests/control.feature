Feature: control

  Scenario: one control acts first for each shard, and every control has its turn
    Then generated names are ranked alike by all and moved little by a newcomer

  Scenario: no intent is appended twice before its append is settled
    Then generated plans are appended once, after the rank's delay

  Scenario: VM lists become the records that the log lacks
    Then a failure is recorded after two lists and a recovery after two more
    And a VM joins only when it is live with the fence of its last order
    And an order without effect is given again only after its time
    And an entry is gone only when its VM was missing for ten seconds, not failed

  Scenario: a paused holder does nothing with a right that has passed
    Then a reboot is called once, and not after a newer order or a join
    And a reboot that the platform did not take is called again

  Scenario: a snapshot is due by records, by time and before the last is lost
    Then the first in rank writes a snapshot and the others wait for it

  Scenario: a replica that lost records goes on only from a snapshot
    Then a generated log is folded alike from a snapshot and from its start
    And snapshots that are torn, foreign or older than the state are passed over

  Scenario: a lost answer is settled by reading
    Given a follower of a log in this process
    When the log loses the answer to an append
    Then the verdict is the step read back

  Scenario: an append that the log never took is unknown
    Given a follower of a log in this process
    When the log drops an append
    Then the verdict is unknown

  Scenario: an append that is refused at once is unavailable
    Given a follower of a log in this process
    When the log is down for an append
    Then the verdict is unavailable

  Scenario: a process that stood still knows it until it has read the tail
    Given a follower of a log in this process
    When the process stands still while the log is down
    Then the follower is paused until the log is back

  Scenario: both example sets load, and a bad setting is named
    Then every example control prints its settings without the key
    And a bad control setting ends with status 2 and its place
