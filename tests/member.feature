Feature: membership of an entry in the fleet

  # While a member reports an outage of the log, an entry that cannot join may send
  # requests. A batch must not drain before these have reached their deadlines.
  Scenario Outline: a member that reported an outage delays its acknowledgements
    Given a member of the fleet that reads the log
    When its lease lapses <times>, detected by <detection>, and a batch is opened
    Then it acknowledges the batch only after the fixed delay and the longest deadline

    Examples:
      | detection      | times |
      | a tick         | once  |
      | a tick         | twice |
      | a heartbeat    | once  |

  Scenario: a member whose process was paused sends nothing before it has read the tail
    Given a member of the fleet that reads the log
    When its process is paused for a minute
    Then it sends to no VM until it has read the tail

  Scenario: requests that were queued during a pause of the process are sent afterwards
    Given a member of the fleet that reads the log
    When its process is paused for a minute
    And it has read the tail since
    Then it signals once that requests may be sent again
