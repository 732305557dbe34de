Feature: slots

  Scenario: more slots never mean fewer home tokens for a seat
    Then generated deals of slot tokens are whole, even and grow with the slots

  Scenario: slots are never exceeded while entries fail and messages are lost
    Then no generated history of slot ledgers exceeds the slots of an endpoint

  Scenario: a quiet network brings idle tokens home and demand is served
    Then generated histories of slot ledgers end with every token at home
    And after them one seat can borrow every slot

  Scenario: a new incarnation waits for the requests of the old one
    Given three slot ledgers over 8 slots
    When slot seat a is replaced with 2 requests running
    Then slot seat a has no home tokens until the longest deadline has passed

  Scenario: the first incarnation of a seat need not wait
    Given three slot ledgers over 8 slots
    Then a proven first incarnation has its tokens at once

  Scenario: a paused entry uses no tokens until a peer takes it as current
    Given three slot ledgers over 8 slots
    When slot seat a pauses for 10 seconds
    Then slot seat a has tokens again only after an old peer confirms it

  Scenario: pauses of all entries at once end by the word of all
    Given three slot ledgers over 8 slots
    When all slot seats pause for 10 seconds
    Then slot seat a has tokens again only after both halted peers confirm it

  Scenario: a busy borrower gives tokens back to the seat that owns them
    Given three slot ledgers over 8 slots
    When slot seat a holds all 8 slots and seat b asks for its own
    Then seat b gets its home tokens as requests of seat a end

  Scenario: a newcomer gets a share while all others have queues
    Given three slot ledgers over 8 slots
    When slot seats b and c have queues and seat a is replaced
    Then slot seat a runs requests on borrowed tokens before it may use its own

  Scenario: what is lacking on a changed group of endpoints replaces the old
    Given three slot ledgers over 8 slots
    When slot seat a lacks tokens on x and z, then only on x, then none on x
    Then slot seat a lends its tokens again

  Scenario Outline: slots hold when <case>
    Then the slots of an endpoint hold when <case>

    Examples:
      | case                                            |
      | a lender is replaced while its borrower is busy |
      | a borrower is replaced after it reported        |
      | a borrower is replaced before it could report   |
      | a replaced borrower wakes and reports           |
      | a transfer of a replaced lender arrives late    |
      | tokens are lent and returned at once            |
