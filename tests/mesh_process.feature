Feature: entries that lack the log or were paused

  Scenario: an entry cut from the log takes part through its peer
    Given entry e2 with the log and entry e1 cut from it
    Then entry e1 is a member and answers requests
    And entry e1 stays fresh while 20 records come past it
    When a second bundle is rolled past entry e1
    Then entry e1 has the second bundle in force
    When e1 and e2 have acknowledged a batch with vm0
    And the drain of the batch starts past entry e1
    Then entry e1 sends to the other endpoint only
    And entry e1 has confirmed the drain

  Scenario: entries that were all paused at once go on
    Given the entries e1 and e2 as processes and 2 endpoints
    When both entries are paused for 4 seconds
    Then both entries answer requests again under their incarnations

  Scenario: a paused entry whose only peer was replaced meanwhile starts anew
    Given the entries e1 and e2 as processes and 2 endpoints
    When e1 is paused while e2 is killed and replaced
    Then e1 ends by itself in order
