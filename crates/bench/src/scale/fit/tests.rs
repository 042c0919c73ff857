use super::least_squares;

#[test]
fn points_on_a_line_give_zero_standard_error_and_equal_end_slopes() {
    let fit = least_squares(&[(0.0, 1.0), (1.0, 3.0), (4.0, 9.0)])
        .expect("three points determine a line");
    assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.intercept - 1.0).abs() < 1e-9);
    assert!(
        fit.standard_error
            .expect("three points have a standard error")
            < 1e-9
    );
    assert_eq!(fit.end_slopes, (2.0, 2.0));
}

#[test]
fn points_on_a_curve_give_different_end_slopes_and_a_standard_error() {
    let fit = least_squares(&[(0.0, 0.0), (1.0, 1.0), (2.0, 5.0)])
        .expect("three points determine a line");
    assert_eq!(fit.end_slopes, (1.0, 4.0));
    // Calculated by hand: slope 2.5, residuals 0.5, -1 and 0.5, so the standard error is sqrt(1.5 / 1 / 2).
    assert!((fit.slope - 2.5).abs() < 1e-9);
    assert!(
        (fit.standard_error
            .expect("three points have a standard error")
            - 0.75_f64.sqrt())
        .abs()
            < 1e-9
    );
}

#[test]
fn a_line_needs_two_distinct_x_values_and_a_standard_error_three_points() {
    assert_eq!(least_squares(&[]), None);
    assert_eq!(least_squares(&[(1.0, 1.0)]), None);
    assert_eq!(least_squares(&[(1.0, 1.0), (1.0, 2.0)]), None);
    assert_eq!(
        least_squares(&[(1.0, 1.0), (2.0, 2.0)])
            .expect("two points determine a line")
            .standard_error,
        None
    );
}
