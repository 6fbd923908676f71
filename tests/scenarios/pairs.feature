Feature: Two faults at once
  Where two faults leave no safe owner the keys wait; they never get a second.

  Scenario: The log is down and an owner is lost
    Given a mesh of 6 members
    When the log goes down
    And 2 s go by
    And member 1 is lost
    And 10 s go by
    Then the slices of the lost member are served by nobody
    When the log comes back
    Then every slice is served within 2 s
    And the promises hold

  Scenario: An owner is paused past its lease while the log is down
    Given a mesh of 6 members
    When the log goes down
    And 2 s go by
    And member 2 is paused
    And 5 s go by
    And member 2 goes on
    Then every slice is served within 1 s
    When the log comes back
    And 3 s go by
    Then no member was closed
    And the promises hold

  Scenario: A domain is lost during a drain
    Given a mesh of 6 members
    When member 1 is asked to stop
    And 0.1 s go by
    And domain "w1" is lost
    Then every slice is served within 2 s
    And member 1 has ended within 8 s
    And the promises hold

  Scenario: An answer is lost and the caller repeats
    Given a mesh of 6 members
    When a credit for "batch-9" is sent to member 1
    And 1 s go by
    And the credit for "batch-9" is sent again to member 2
    And the credit for "batch-9" is sent again to member 3
    Then every call was answered
    And the credit ran 1 time

  Scenario: The owner is lost between a credit and its repeat
    Given a mesh of 6 members
    When a credit for "batch-9" is sent to member 1
    And 1 s go by
    And the owner of batch-9 is lost
    And 3 s go by
    And the credit for "batch-9" is sent again to member 2
    Then the last call is refused as "outcome_not_vouched"
    And the credit ran 1 time

  Scenario: A region is parted from the log and loses a member
    Given a mesh of 6 members
    When region "wayanad" is parted from the log
    And 5 s go by
    Then every slice is still served
    When member 3 is lost
    Then every slice is served within 3 s
    And the promises hold

  Scenario: A frozen target that checks nothing returns after a takeover
    Given a mesh of 6 members whose targets check nothing
    When the target of member 1 freezes
    And lookups for 30 keys are sent to member 2
    And 0.1 s go by
    And member 1 is paused
    And 6 s go by
    Then every slice is still served
    When the target of member 1 returns
    And member 1 goes on
    And 3 s go by
    Then the promises hold

  Scenario: Two of three witnesses are lost
    Given a mesh of 6 members
    When two witnesses of member 1 are lost
    Then every slice is served within 3 s
    And the promises hold

  Scenario: A member is lost with two of its witnesses
    Given a mesh of 6 members
    When two witnesses of member 1 are lost
    And member 1 is lost
    And 3 s go by
    Then the slices of the lost member are served by nobody
    And every slice is served within 40 s
    And the promises hold

  Scenario: All members stand still at once
    Given a mesh of 3 members
    When member 1 is paused
    And member 2 is paused
    And member 3 is paused
    And 45 s go by
    And member 1 goes on
    And member 2 goes on
    And member 3 goes on
    Then every slice is served within 40 s
    And the promises hold

  Scenario: Two of three daemons are restarted in place
    Given a mesh of 3 members
    When member 1 is restarted
    And member 2 is restarted
    Then every slice is served within 4 s
    And the promises hold

  Scenario: The join of a run that has ended reaches the log late
    Given a mesh of 4 members
    When the log takes 0.5 s for each call
    And member 2 is restarted
    And 0.7 s go by
    And member 2 is restarted
    And the log takes 0.005 s for each call
    Then every slice is served within 8 s
    And 40 s later no member is without witnesses
