use super::line;

#[test]
fn a_straight_line_is_found_with_no_error_and_no_bend() {
    let fit = line(&[(0.0, 1.0), (1.0, 3.0), (4.0, 9.0)]).expect("three points");
    assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.at_zero - 1.0).abs() < 1e-9);
    assert!(fit.error.expect("an error") < 1e-9);
    assert_eq!(fit.ends, (2.0, 2.0));
}

#[test]
fn a_bend_shows_in_the_slopes_of_the_ends() {
    let fit = line(&[(0.0, 0.0), (1.0, 1.0), (2.0, 5.0)]).expect("three points");
    assert_eq!(fit.ends, (1.0, 4.0));
    // By hand: slope 2.5, residuals 0.5, -1, 0.5, so the error is sqrt(1.5 / 1 / 2).
    assert!((fit.slope - 2.5).abs() < 1e-9);
    assert!((fit.error.expect("an error") - 0.75_f64.sqrt()).abs() < 1e-9);
}

#[test]
fn fewer_than_two_places_make_no_line() {
    assert_eq!(line(&[]), None);
    assert_eq!(line(&[(1.0, 1.0)]), None);
    assert_eq!(line(&[(1.0, 1.0), (1.0, 2.0)]), None);
    assert_eq!(
        line(&[(1.0, 1.0), (2.0, 2.0)]).expect("two points").error,
        None
    );
}
